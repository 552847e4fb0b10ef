/** Detection of requests that crash backend servers. */
package org.siskintiller.core.quarantine;
