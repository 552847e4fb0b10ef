package org.siskintiller.node.http;

import java.io.IOException;

import com.sun.net.httpserver.HttpExchange;

/** Serves the paths below /_siskin/. */
public interface OperatorPaths {

    void handle(HttpExchange exchange) throws IOException;
}
