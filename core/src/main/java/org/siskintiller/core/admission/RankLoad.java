package org.siskintiller.core.admission;

/**
 * Counters of one rank.
 *
 * @param admittedShare share of the recent requests that were admitted, from 0 to 1
 */
public record RankLoad(String rank, int queued, int inFlight, long dispatched, double admittedShare) {}
