package tillerlink.net.wire;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import tillerlink.model.Engine.Status;

/** The discovery service's messages (RFC 1035, RFC 2782). */
public final class Dns {
  private static final String POOL = "_back._tcp.pool.lan";

  private static final int HEAD = 12;
  private static final int TYPE_A = 1;
  private static final int TYPE_SOA = 6;
  private static final int TYPE_TXT = 16;
  private static final int TYPE_SRV = 33;
  private static final int CLASS_IN = 1;
  private static final int JUMPS_MOST = 64;
  private static final int NAME_MOST = 255;
  private static final int DRAINING = 1;
  private static final int TRUNCATED = 0x0200;
  private static final double WEIGHT_UNIT = 10;

  private Dns() {}

  /** The query for the whole list. */
  public static byte[] query(int id) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(64);
    int[] head = {id >> 8, id, 1, 0, 0, 1, 0, 0, 0, 0, 0, 0};
    for (int b : head) {
      out.write(b);
    }
    for (String label : POOL.split("\\.")) {
      out.write(label.length());
      out.writeBytes(label.getBytes(StandardCharsets.US_ASCII));
    }
    for (int b : new int[] {0, 0, TYPE_SRV, 0, CLASS_IN}) {
      out.write(b);
    }
    return out.toByteArray();
  }

  /** Which query a message answers, or -1 if it is too short to tell. */
  public static int id(byte[] message) {
    return message.length < 2 ? -1 : two(message, 0);
  }

  private static int two(byte[] message, int place) {
    return (message[place] & 255) << 8 | message[place + 1] & 255;
  }

  private record Service(String target, int priority, int weight, int port) {}

  /**
   * The list in an answer.
   *
   * @throws IllegalArgumentException if it is none to the query of that id; the message says why
   */
  public static EndpointWatchEvent answer(byte[] message, int id) {
    try {
      return new Answer(message).read(id);
    } catch (IndexOutOfBoundsException e) {
      throw new IllegalArgumentException("it ends too early");
    }
  }

  private static final class Answer {
    private final byte[] m;
    private int at = HEAD;

    Answer(byte[] message) {
      m = message;
    }

    EndpointWatchEvent read(int id) {
      if (two(0) != id) {
        throw new IllegalArgumentException("a foreign id");
      }
      int flags = two(2);
      if ((flags & 0x8000) == 0 || (flags & 15) != 0) {
        throw new IllegalArgumentException("no answer, or a fault code: flags " + flags);
      }
      boolean partial = (flags & TRUNCATED) != 0;
      for (int i = two(4); i > 0; i--) {
        name();
        at += 4;
      }
      List<Service> services = new ArrayList<>();
      Map<String, String> addresses = new HashMap<>();
      Map<String, Map<String, String>> texts = new HashMap<>();
      long serial = -1;
      // A truncated answer may leave out whole records of any section, whatever its counts say.
      for (int i = two(6) + two(8) + two(10); i > 0 && !(partial && at >= m.length); i--) {
        String owner = name().toLowerCase(Locale.ROOT);
        int type = two(at);
        int end = at + 10 + two(at + 8);
        at += 10;
        if (end > m.length) {
          throw new IllegalArgumentException("a record past the end");
        }
        switch (type) {
          case TYPE_SRV -> services.add(service());
          case TYPE_A ->
              addresses.put(
                  owner,
                  (m[at] & 255)
                      + "."
                      + (m[at + 1] & 255)
                      + "."
                      + (m[at + 2] & 255)
                      + "."
                      + (m[at + 3] & 255));
          case TYPE_TXT -> texts.put(owner, text(end));
          case TYPE_SOA -> {
            name();
            name();
            serial = (long) two(at) << 16 | two(at + 2);
          }
          default -> {}
        }
        at = end;
      }
      if (serial < 0) {
        throw new IllegalArgumentException(partial ? "truncated before its serial" : "no serial");
      }
      List<EndpointEntry> entries = new ArrayList<>();
      for (Service service : services) {
        String owner = service.target.toLowerCase(Locale.ROOT);
        EndpointEntry entry = entry(service, addresses.get(owner), texts.get(owner));
        partial |= entry.address() == null;
        entries.add(entry);
      }
      return new EndpointWatchEvent(serial, !partial, partial, entries);
    }

    /** Without its address or text, only the standing is told. */
    private static EndpointEntry entry(Service service, String address, Map<String, String> text) {
      String[] labels = service.target.split("\\.");
      if (labels.length < 2) {
        throw new IllegalArgumentException("no zone in " + service.target);
      }
      if (address == null || text == null) {
        return new EndpointEntry(
            labels[0],
            null,
            service.port,
            labels[1],
            "",
            0,
            standing(service),
            service.weight / WEIGHT_UNIT,
            0);
      }
      return new EndpointEntry(
          labels[0],
          address,
          service.port,
          labels[1],
          text.getOrDefault("kind", ""),
          (int) number(text.get("cell")),
          standing(service),
          service.weight / WEIGHT_UNIT,
          number(text.get("started")));
    }

    private static Status standing(Service service) {
      return service.priority == DRAINING ? Status.DRAINING : Status.READY;
    }

    private static long number(String text) {
      return text == null ? 0 : Long.parseLong(text);
    }

    private Service service() {
      int priority = two(at);
      int weight = two(at + 2);
      int port = two(at + 4);
      at += 6;
      return new Service(name(), priority, weight, port);
    }

    private Map<String, String> text(int end) {
      Map<String, String> values = new HashMap<>();
      while (at < end) {
        int length = m[at] & 255;
        String part = new String(m, at + 1, Math.min(length, end - at - 1), StandardCharsets.UTF_8);
        int sign = part.indexOf('=');
        if (sign > 0) {
          values.put(part.substring(0, sign), part.substring(sign + 1));
        }
        at += 1 + length;
      }
      return values;
    }

    /** Reads a name, which may be compressed, and moves past it. */
    private String name() {
      StringBuilder name = new StringBuilder();
      int from = at;
      boolean jumped = false;
      for (int jumps = 0; jumps <= JUMPS_MOST; ) {
        int length = m[from] & 255;
        if (length >= 0xc0) {
          if (!jumped) {
            at = from + 2;
            jumped = true;
          }
          from = two(from) & 0x3fff;
          jumps++;
        } else if (length > 63) {
          throw new IllegalArgumentException("a label of an unknown kind");
        } else if (length == 0) {
          if (!jumped) {
            at = from + 1;
          }
          return name.toString();
        } else {
          if (name.length() > 0) {
            name.append('.');
          }
          name.append(new String(m, from + 1, length, StandardCharsets.US_ASCII));
          from += 1 + length;
          if (name.length() > NAME_MOST) {
            throw new IllegalArgumentException("a name too long");
          }
        }
      }
      throw new IllegalArgumentException("a pointer loop");
    }

    private int two(int place) {
      return Dns.two(m, place);
    }
  }
}
