/** Operators' command line. */
package org.siskintiller.ctl;
