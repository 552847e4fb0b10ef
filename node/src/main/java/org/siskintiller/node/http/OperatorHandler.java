package org.siskintiller.node.http;

import java.io.IOException;

import com.sun.net.httpserver.HttpExchange;

/** Handles requests to the paths below /_siskin/. */
public interface OperatorHandler {

    void handle(HttpExchange exchange) throws IOException;
}
