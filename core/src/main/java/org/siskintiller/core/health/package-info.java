/** Ejection and gradual return of backend servers by the results of their requests. */
package org.siskintiller.core.health;
