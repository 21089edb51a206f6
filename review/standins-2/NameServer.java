package review2;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * The name service over UDP (RFC 1035): answers each query with the whole list, and with the number
 * of the last event as the serial of the SOA record. While it is silent, it answers
 * nothing; while it lags, it answers with the list and the number as they were before.
 */
public final class NameServer implements AutoCloseable {
  private record Event(long serial, long atNanos, List<Listed> engines) {}

  private final Record record;
  private final DatagramSocket socket;
  /** The events in their order, each with the whole list after it. */
  private final List<Event> events = new ArrayList<>();
  private long lagMillis;
  private boolean silent;
  private long lastAnsweredSerial;
  private int unanswered;

  public NameServer(Record record, long serial, List<Listed> engines) throws IOException {
    this.record = record;
    events.add(new Event(serial, Long.MIN_VALUE, List.copyOf(engines)));
    socket = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    Thread thread = new Thread(this::serve, "names");
    thread.setDaemon(true);
    thread.start();
  }

  public String address() {
    return "127.0.0.1:" + socket.getLocalPort();
  }

  /** Replaces the list; this is one event more. */
  public synchronized void publish(List<Listed> list) {
    long serial = latest().serial() + 1;
    events.add(new Event(serial, System.nanoTime(), List.copyOf(list)));
    record.line("names: event " + serial + " lists " + list);
  }

  /** From now on the answers hold the list as it was so long before. */
  public synchronized void setLag(long millis) {
    lagMillis = millis;
    record.line("names: the list runs " + millis + " ms behind");
  }

  /** Returns when, on the record's clock, the lagging answers first hold an event. */
  public synchronized long lagEndsFor(long serial) {
    for (Event event : events) {
      if (event.serial() == serial) {
        return record.now() + (event.atNanos() - System.nanoTime()) / 1_000_000 + lagMillis;
      }
    }
    return Long.MAX_VALUE;
  }

  private Event latest() {
    return events.get(events.size() - 1);
  }

  private Event shown() {
    long until = System.nanoTime() - lagMillis * 1_000_000;
    Event shown = events.get(0);
    for (Event event : events) {
      if (event.atNanos() != Long.MIN_VALUE && event.atNanos() <= until) {
        shown = event;
      }
    }
    return shown;
  }

  public synchronized void setSilent(boolean value) {
    silent = value;
    record.line("names: " + (value ? "silent" : "answers again, " + unanswered + " unanswered"));
  }

  /** Returns the serial of the last answer. */
  public synchronized long lastAnsweredSerial() {
    return lastAnsweredSerial;
  }

  private void serve() {
    try {
      while (true) {
        DatagramPacket query = new DatagramPacket(new byte[512], 512);
        socket.receive(query);
        byte[] answer = null;
        synchronized (this) {
          if (silent) {
            unanswered++;
          } else {
            Event shown = shown();
            answer = answer(query, shown.serial(), shown.engines());
            if (lastAnsweredSerial != shown.serial()) {
              record.line("names: answers with the list of event " + shown.serial());
            }
            lastAnsweredSerial = shown.serial();
          }
        }
        if (answer != null) {
          socket.send(new DatagramPacket(answer, answer.length, query.getSocketAddress()));
        }
      }
    } catch (IOException e) {
      // The socket was closed.
    }
  }

  private static byte[] answer(DatagramPacket query, long serial, List<Listed> engines)
      throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    out.write(query.getData(), 0, 2);
    for (int value : new int[] {0x8400, 1, engines.size(), 1, 2 * engines.size()}) {
      out.writeShort(value);
    }
    out.write(query.getData(), 12, query.getLength() - 12);
    for (Listed engine : engines) {
      out.writeShort(0xc00c);
      byte[] target = name(engine.id() + "." + engine.zone() + ".hosts");
      header(out, 33, 6 + target.length);
      out.writeShort(engine.draining() ? 1 : 0);
      out.writeShort(10);
      out.writeShort(engine.port());
      out.write(target);
    }
    out.writeShort(0xc00c);
    byte[] source = name("ns.hosts");
    header(out, 6, 2 * source.length + 20);
    out.write(source);
    out.write(source);
    out.writeInt((int) serial);
    for (int i = 0; i < 4; i++) {
      out.writeInt(60);
    }
    for (Listed engine : engines) {
      byte[] target = name(engine.id() + "." + engine.zone() + ".hosts");
      out.write(target);
      header(out, 1, 4);
      out.write(new byte[] {127, 0, 0, 1});
      out.write(target);
      ByteArrayOutputStream text = new ByteArrayOutputStream();
      for (String item :
          List.of("kind=" + engine.kind(), "cell=0", "started=" + engine.startedMs())) {
        text.write(item.length());
        text.writeBytes(item.getBytes(StandardCharsets.US_ASCII));
      }
      header(out, 16, text.size());
      out.write(text.toByteArray());
    }
    return bytes.toByteArray();
  }

  private static void header(DataOutputStream out, int type, int length) throws IOException {
    out.writeShort(type);
    out.writeShort(1);
    out.writeInt(0);
    out.writeShort(length);
  }

  private static byte[] name(String dotted) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (String label : dotted.split("\\.")) {
      bytes.write(label.length());
      bytes.writeBytes(label.getBytes(StandardCharsets.US_ASCII));
    }
    bytes.write(0);
    return bytes.toByteArray();
  }

  @Override
  public void close() {
    socket.close();
  }
}
