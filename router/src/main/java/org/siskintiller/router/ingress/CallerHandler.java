package org.siskintiller.router.ingress;

/** Handles the requests of callers. */
public interface CallerHandler {
    /** Starts a request and returns what to run when its caller leaves. */
    Runnable handle(CallerRequest request, CallerResponse response);
}
