/** State machine of the request path beside a backend server. */
package org.siskintiller.core.gate;
