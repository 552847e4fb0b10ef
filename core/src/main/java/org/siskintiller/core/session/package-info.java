/** Session leases and their witnesses. */
package org.siskintiller.core.session;
