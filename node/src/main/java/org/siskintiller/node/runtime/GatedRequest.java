package org.siskintiller.node.runtime;

import java.io.InputStream;

import org.siskintiller.core.gate.GateRequest;
import org.siskintiller.node.request.RequestHead;
import org.siskintiller.node.request.ResponseSink;

/** Request at the gate, with its body and the sink of its response. */
record GatedRequest(RequestHead head, GateRequest gate, InputStream body, ResponseSink sink) {}
