/** Ownership of slots: activation, takeover and release. */
package org.siskintiller.core.ownership;
