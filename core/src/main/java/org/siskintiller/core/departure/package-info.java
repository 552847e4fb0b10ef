/** Proof that a removed customer's traffic has stopped. */
package org.siskintiller.core.departure;
