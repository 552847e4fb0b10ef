package org.siskintiller.router.request;

/**
 * Settings of the ingress.
 *
 * @param callerService service of this machine, told to backend servers as the origin of its requests
 * @param retryRatio repeats that all companions may send, as a share of the requests for a service
 * @param retrySlack repeats that are allowed on top in a window
 * @param retryWindowMs length of that window
 */
public record RouterSettings(String callerService, double retryRatio, double retrySlack, long retryWindowMs) {}
