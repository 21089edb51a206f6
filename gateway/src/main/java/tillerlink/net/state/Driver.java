package tillerlink.net.state;

import java.net.InetSocketAddress;

/** Reads and writes for the state; never blocks it. */
public interface Driver {
    /** Begins a connection; its owner hears of it later. */
    Pipe dial(InetSocketAddress to, Pipe.Owner owner);

    /** Sends a datagram to the name service. */
    void ask(byte[] datagram);

    /** Hands out what the turn wrote. */
    void flush();
}
