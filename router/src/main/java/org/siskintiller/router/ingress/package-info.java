/** HTTP server for callers: connections, ordered responses and local pages. */
package org.siskintiller.router.ingress;
