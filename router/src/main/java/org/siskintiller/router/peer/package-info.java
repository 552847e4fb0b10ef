/** Connections between companions: one in each direction between any two, with multiplexed streams. */
package org.siskintiller.router.peer;
