/** Ingress rules, tried in order. */
package org.siskintiller.core.routing;
