/** Fault-injecting forwarder. */
package org.siskintiller.standin.proxy;
