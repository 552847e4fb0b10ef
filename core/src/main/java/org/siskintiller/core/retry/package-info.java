/** Retry budget and policy. */
package org.siskintiller.core.retry;
