/** Companion process beside a backend server. */
package org.siskintiller.node;
