package org.siskintiller.router.request;

/** HTTP header field. */
public record Header(String name, String value) {}
