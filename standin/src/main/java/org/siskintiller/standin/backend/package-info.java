/**
 * Stand-in for a backend server.
 *
 * <p>{@code POST /_faults} takes JSON with any of {@code slowFactor}, {@code shed}, {@code errors},
 * {@code dropAnswers}, {@code cutBodies} (shares from 0 to 1), {@code leaving}, {@code announce}, {@code frozen}
 * (booleans), {@code freezeMs}, {@code loadLagMs} and {@code loadFactor}; {@code {"mode":"up"}} clears all faults. A
 * single request triggers a fault by a key that starts with {@code crash-} or {@code freeze-}, or by the header
 * {@code X-Standin-Fault: crash} or {@code freeze}. {@code GET /journal} returns one JSON object per execution and
 * line. Paths that end with {@code /export?bytes=N} return a body of N bytes with its digest.
 */
package org.siskintiller.standin.backend;
