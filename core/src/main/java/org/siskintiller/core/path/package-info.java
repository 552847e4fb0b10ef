/** Decisions on the path of a request: routes, attempts, dispatch and the presence of the backend server. */
package org.siskintiller.core.path;
