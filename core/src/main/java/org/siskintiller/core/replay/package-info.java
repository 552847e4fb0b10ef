/** Replay of the control stream into the cluster state. */
package org.siskintiller.core.replay;
