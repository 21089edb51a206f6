package tillerlink.operator;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Addresses of gateways as host:port. The host is written out, as in 10.0.0.7:7400 or
 * [fd00::7]:7400: nothing is looked up, so that gateways find each other also while no discovery
 * service answers.
 */
public final class Addresses {
  private static final Pattern FORM =
      Pattern.compile("([0-9]{1,3}(?:[.][0-9]{1,3}){3}|\\[[0-9a-fA-F:.]{2,45}\\]):([0-9]{1,5})");
  private static final int PORT_MOST = 65_535;

  private Addresses() {}

  /** The address, or null if it is none, or not that of one gateway. */
  public static InetSocketAddress socket(String text) {
    Matcher parts = FORM.matcher(text);
    if (!parts.matches()) {
      return null;
    }
    int port = Integer.parseInt(parts.group(2));
    InetAddress host = host(parts.group(1));
    return host == null
            || port < 1
            || port > PORT_MOST
            || host.isAnyLocalAddress()
            || host.isMulticastAddress()
        ? null
        : new InetSocketAddress(host, port);
  }

  /** Only literals come here; the JDK looks none of them up. */
  private static InetAddress host(String literal) {
    try {
      if (literal.startsWith("[")) {
        return InetAddress.getByName(literal);
      }
      byte[] bytes = new byte[4];
      String[] parts = literal.split("[.]");
      for (int i = 0; i < bytes.length; i++) {
        int part = Integer.parseInt(parts[i]);
        if (part > 255) {
          return null;
        }
        bytes[i] = (byte) part;
      }
      return InetAddress.getByAddress(bytes);
    } catch (UnknownHostException e) {
      return null;
    }
  }

  static String read(Section section, String name) {
    String given = section.text(name, null);
    check(section, name, given);
    return given;
  }

  /** Empty where nothing stands. */
  static List<String> list(Section section, String name, int most) {
    List<String> given = Names.distinct(section, name, section.texts(name, false), most);
    List<String> sound = new ArrayList<>();
    for (String one : given) {
      if (check(section, name, one)) {
        sound.add(one);
      }
    }
    return List.copyOf(sound);
  }

  private static boolean check(Section section, String name, String given) {
    boolean sound = socket(given) != null;
    if (!sound && !given.isEmpty()) {
      section.faultAt(
          name, "'" + given + "' is not the address and port of one gateway, as in 10.0.0.7:7400");
    }
    return sound;
  }
}
