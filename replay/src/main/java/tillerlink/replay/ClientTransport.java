package tillerlink.replay;

/** How the clients of a replay connect to gateways. */
public interface ClientTransport {
  /** A connection as its client uses it. */
  interface Connection {
    /** Sends bytes to the gateway. */
    void send(byte[] bytes);

    /** Closes the connection; nothing is reported to the listener after this. */
    void disconnect();
  }

  /** Receives what comes on a connection. */
  interface Listener {
    /** Bytes of the gateway have come. */
    void onBytes(byte[] bytes);

    /**
     * The gateway closed the connection, or it never opened. Called once, and not after the client
     * closed it.
     */
    void onClosed();
  }

  /** Whether a gateway accepts connections. */
  boolean isUp(int gateway);

  /** Opens a connection to a gateway. */
  Connection open(int gateway, Listener listener);
}
