package tillerlink.replay;

import tillerlink.emulator.EmulatedCluster;
import tillerlink.emulator.EmulatedGateway;
import tillerlink.net.state.Channel;
import tillerlink.net.state.DisconnectReason;

/** Connections of clients to gateways in memory. */
public final class GatewayConnections implements Lines {
  private static final long DELAY = 2;

  private final EmulatedCluster cluster;

  public GatewayConnections(EmulatedCluster cluster) {
    this.cluster = cluster;
  }

  @Override
  public boolean isUp(int gateway) {
    return cluster.gateway(gateway).isUp();
  }

  @Override
  public Line open(int gateway, Client client) {
    return new Connection(cluster.gateway(gateway), client);
  }

  /** What is said takes a while, both ways, and keeps its order. */
  private final class Connection implements Line, Channel {
    private final EmulatedGateway seat;
    private final Client client;
    private final int life;
    private Owner owner;
    private boolean hungUp;
    private boolean over;

    Connection(EmulatedGateway seat, Client client) {
      this.seat = seat;
      this.client = client;
      life = seat.incarnation();
      later(() -> seat.post(life, () -> owner = seat.accept(this)));
    }

    private void later(Runnable what) {
      cluster.timeline.at(cluster.now() + DELAY, what);
    }

    private void tell(Runnable what) {
      seat.post(
          life,
          () -> {
            if (!over && owner != null) {
              what.run();
            }
          });
    }

    @Override
    public void say(byte[] bytes) {
      later(() -> tell(() -> owner.onBytes(bytes)));
    }

    @Override
    public void hangUp() {
      hungUp = true;
      later(
          () ->
              tell(
                  () -> {
                    over = true;
                    owner.onClosed(DisconnectReason.CLOSED_BY_PEER);
                  }));
    }

    @Override
    public void write(byte[] bytes) {
      tell(() -> owner.onWritten());
      later(
          () -> {
            if (!hungUp) {
              client.heard(bytes);
            }
          });
    }

    @Override
    public void close() {
      abort();
    }

    /** What was written before still comes. */
    @Override
    public void abort() {
      if (!over) {
        over = true;
        later(
            () -> {
              if (!hungUp) {
                hungUp = true;
                client.ended();
              }
            });
      }
    }

    @Override
    public void pauseReading(boolean held) {
      // Clients of a replay never send ahead.
    }
  }
}
