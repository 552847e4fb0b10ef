/** Named invariants that stay checked in production. */
package org.siskintiller.core.invariant;
