/** Requests as they pass between the parts of the data path, and the routing decisions for each of them. */
package org.siskintiller.router.request;
