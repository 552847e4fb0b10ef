/** Stand-in for the log service. */
package org.siskintiller.standin.log;
