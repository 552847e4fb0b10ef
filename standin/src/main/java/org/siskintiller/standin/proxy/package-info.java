/**
 * Fault-injecting forwarder.
 *
 * <p>{@code POST /_faults} at the control address takes JSON with {@code map} (a listening address or {@code all}) and
 * any of {@code delayMs}, {@code lossForward}, {@code lossBackward}, {@code cut}, {@code halfOpen},
 * {@code bytesPerSecond} and {@code garbage}; {@code {"map":"all","mode":"up"}} clears all faults.
 */
package org.siskintiller.standin.proxy;
