package tillerlink.replay;

import tillerlink.emulator.EmulatedCluster;
import tillerlink.emulator.EmulatedGateway;
import tillerlink.net.state.Channel;
import tillerlink.net.state.DisconnectReason;

/** Connects clients to emulated gateways in memory. */
public final class GatewayConnections implements ClientTransport {
  /** The one-way delay of a connection, in tenths of a millisecond. */
  private static final long DELAY = 2;

  private final EmulatedCluster cluster;

  /** Creates a transport to the gateways of a cluster. */
  public GatewayConnections(EmulatedCluster cluster) {
    this.cluster = cluster;
  }

  @Override
  public boolean isUp(int gateway) {
    return cluster.gateway(gateway).isUp();
  }

  @Override
  public Connection open(int gateway, Listener listener) {
    return new InMemoryConnection(cluster.gateway(gateway), listener);
  }

  /** A connection that delivers bytes in order and after the delay, in both directions. */
  private final class InMemoryConnection implements Connection, Channel {
    private final EmulatedGateway gateway;
    private final Listener listener;
    private final int incarnation;
    private Owner owner;
    private boolean closedByClient;
    private boolean closed;

    InMemoryConnection(EmulatedGateway gateway, Listener listener) {
      this.gateway = gateway;
      this.listener = listener;
      incarnation = gateway.incarnation();
      afterDelay(() -> gateway.post(incarnation, () -> owner = gateway.accept(this)));
    }

    private void afterDelay(Runnable event) {
      cluster.timeline.at(cluster.now() + DELAY, event);
    }

    private void postToGateway(Runnable event) {
      gateway.post(
          incarnation,
          () -> {
            if (!closed && owner != null) {
              event.run();
            }
          });
    }

    @Override
    public void send(byte[] bytes) {
      afterDelay(() -> postToGateway(() -> owner.onBytes(bytes)));
    }

    @Override
    public void disconnect() {
      closedByClient = true;
      afterDelay(
          () ->
              postToGateway(
                  () -> {
                    closed = true;
                    owner.onClosed(DisconnectReason.CLOSED_BY_PEER);
                  }));
    }

    @Override
    public void write(byte[] bytes) {
      postToGateway(() -> owner.onWritten());
      afterDelay(
          () -> {
            if (!closedByClient) {
              listener.onBytes(bytes);
            }
          });
    }

    @Override
    public void close() {
      abort();
    }

    /** Closes the connection. Bytes that were written before are still delivered. */
    @Override
    public void abort() {
      if (!closed) {
        closed = true;
        afterDelay(
            () -> {
              if (!closedByClient) {
                closedByClient = true;
                listener.onClosed();
              }
            });
      }
    }

    @Override
    public void pauseReading(boolean paused) {
      // Clients of a replay never pipeline requests.
    }
  }
}
