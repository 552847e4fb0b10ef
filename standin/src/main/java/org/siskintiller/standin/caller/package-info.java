/**
 * Load-generating caller. An example of a mix:
 *
 * <pre>
 * [caller]
 * targets = 127.0.0.1:7001, 127.0.0.1:7002
 * duration_ms = 10000
 * seed = 1
 * max_in_flight = 2000
 * margin_ms = 500
 *
 * [stream lookup]
 * service = parcel-lookup
 * path = /parcel
 * rate = 200
 * keys = zipf:1.1:10000
 * key_prefix = parcel-
 * hot_shift_ms = 60000
 * rank = urgent
 * customer = growers
 * deadline_ms = 500
 * resends = 2
 * resend_delay_ms = 50
 *
 * [stream declaration]
 * service = declaration-registry
 * method = POST
 * rate = 20
 * idempotency_keys = true
 * repeats = 0.05
 * body_bytes = 300
 * start_ms = 2000
 * stop_ms = 8000
 * </pre>
 */
package org.siskintiller.standin.caller;
