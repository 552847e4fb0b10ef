package org.siskintiller.router.ingress;

/** Handles the requests of callers. */
public interface CallerHandler {
    /** Starts a request and returns the action to run when its caller disconnects. */
    Runnable handle(CallerRequest request, CallerResponse response);
}
