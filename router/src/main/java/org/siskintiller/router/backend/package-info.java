/** Queue in front of the backend server of this machine and the connections to it. */
package org.siskintiller.router.backend;
