/** Stand-ins for the platform in tests and the demo. */
package org.siskintiller.standin;
