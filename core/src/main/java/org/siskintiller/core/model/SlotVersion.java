package org.siskintiller.core.model;

/** A slot at one version of its assignment. */
public record SlotVersion(int slot, long version) {}
