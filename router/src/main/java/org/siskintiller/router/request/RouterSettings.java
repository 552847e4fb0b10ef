package org.siskintiller.router.request;

/**
 * Settings of the ingress.
 *
 * @param callerService service of this machine, sent to backend servers as the origin of its requests
 * @param retryRatio retries that all companions together may send, as a share of the requests for a service
 * @param retrySlack retries that are allowed in addition to that share in a window
 * @param retryWindowMs length of the window in which retries are counted
 */
public record RouterSettings(String callerService, double retryRatio, double retrySlack, long retryWindowMs) {}
