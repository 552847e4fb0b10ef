/** Data path on one event loop: callers, companions, the backend server and the store. */
package org.siskintiller.router;
