package org.siskintiller.router.request;

/** Header field. */
public record Header(String name, String value) {}
