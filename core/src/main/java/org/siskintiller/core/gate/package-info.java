/** State machine of the request path in front of a backend server. */
package org.siskintiller.core.gate;
