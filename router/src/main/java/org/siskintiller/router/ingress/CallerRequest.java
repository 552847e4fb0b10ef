package org.siskintiller.router.ingress;

import io.netty.handler.codec.http.HttpHeaders;

/** Complete request of a caller. */
public record CallerRequest(String method, String uri, HttpHeaders headers, byte[] body, long arrivedNs) {}
