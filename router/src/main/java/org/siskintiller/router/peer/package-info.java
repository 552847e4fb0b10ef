/** Connections between companions: one in each direction, with multiplexed streams. */
package org.siskintiller.router.peer;
