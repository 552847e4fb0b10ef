package org.siskintiller.standin.proxy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.siskintiller.core.model.Address;
import org.siskintiller.standin.http.HttpBodies;
import org.siskintiller.standin.http.StandinHttpServer;

/** Forwards TCP connections and datagrams of several mappings and injects faults. */
final class ProxyServer implements AutoCloseable {
    private static final int EVENT_LOOPS = 2;
    private static final int BIND_ATTEMPTS = 20;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory());
    private final List<Forwarder> forwarders = new ArrayList<>();
    private final StandinHttpServer http;

    ProxyServer(Address control, List<Route> routes, long seed) throws IOException, InterruptedException {
        long nextSeed = seed;
        for (Route route : routes) {
            forwarders.add(open(route, nextSeed));
            nextSeed++;
        }
        this.http = StandinHttpServer.start(control, this::handle);
    }

    /** Forwarding from one address to another; port 0 of the first selects a free port. */
    record Route(Address from, Address to) {}

    private record Forwarder(Address from, ProxyMapping mapping, TcpForwarder tcp, UdpForwarder udp) {}

    Address controlAddress() {
        return http.address();
    }

    /** Returns the bound addresses, in the order of the routes. */
    List<Address> addresses() {
        return forwarders.stream().map(Forwarder::from).toList();
    }

    /** Binds TCP and UDP to one port. If a free TCP port is in use for UDP, another one is tried. */
    private Forwarder open(Route route, long seed) throws IOException, InterruptedException {
        ProxyMapping mapping = new ProxyMapping(route.to(), seed);
        for (int i = 0; i < BIND_ATTEMPTS; i++) {
            TcpForwarder tcp = new TcpForwarder(mapping, route.from(), group);
            InetSocketAddress bound = tcp.address();
            try {
                UdpForwarder udp = new UdpForwarder(mapping, bound, group.next());
                Address from = new Address(bound.getAddress().getHostAddress(), bound.getPort());
                return new Forwarder(from, mapping, tcp, udp);
            } catch (RuntimeException e) {
                tcp.close();
                if (route.from().port() != 0) {
                    throw e;
                }
            }
        }
        throw new IOException("no port is free for both TCP and UDP");
    }

    private void handle(HttpExchange exchange) throws IOException {
        if (!exchange.getRequestURI().getPath().equals("/_faults")) {
            HttpBodies.send(exchange, HttpBodies.NOT_FOUND, "text/plain", new byte[0]);
            return;
        }
        if (exchange.getRequestMethod().equals("POST")) {
            applyFaults(HttpBodies.readJson(exchange));
        }
        ObjectNode json = HttpBodies.object();
        ArrayNode mappings = json.putArray("mappings");
        for (Forwarder forwarder : forwarders) {
            mappings.add(forwarder
                    .mapping()
                    .toJson()
                    .put("from", forwarder.from().toString())
                    .put("connections", forwarder.tcp().connections()));
        }
        HttpBodies.sendJson(exchange, HttpBodies.OK, json);
    }

    private void applyFaults(JsonNode change) {
        String map = change.path("map").asText("");
        boolean found = false;
        for (Forwarder forwarder : forwarders) {
            if (map.equals("all") || map.equals(forwarder.from().toString())) {
                forwarder.mapping().setFaults(forwarder.mapping().faults().with(change));
                forwarder.tcp().applyFaults();
                found = true;
            }
        }
        if (!found) {
            throw new IllegalArgumentException("map \"" + map + "\" is neither all nor one of " + addresses());
        }
    }

    @Override
    public void close() {
        http.close();
        for (Forwarder forwarder : forwarders) {
            forwarder.tcp().close();
            forwarder.udp().close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
