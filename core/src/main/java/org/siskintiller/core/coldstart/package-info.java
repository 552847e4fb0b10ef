/** Limit of the requests that a cold backend server receives. */
package org.siskintiller.core.coldstart;
