/**
 * Stand-in for the log service.
 *
 * <p>{@code POST /_faults} takes JSON: {@code {"mode":"down"}}, {@code {"mode":"slow","delayMs":500}},
 * {@code {"loseAnswers":0.3}}, {@code {"lateAppendMs":300}} and {@code {"mode":"up"}}, which clears all faults.
 * {@code GET /_stats} counts appends, records, reads, refusals by the rate limit and lost responses.
 */
package org.siskintiller.standin.log;
