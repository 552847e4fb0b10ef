/** Lease authority of key ranges, its election and the holder side beside each backend server. */
package org.siskintiller.core.lease;
