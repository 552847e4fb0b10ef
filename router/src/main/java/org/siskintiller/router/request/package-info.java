/** Requests between the parts of the data path, and the ingress decisions on each of them. */
package org.siskintiller.router.request;
