package tillerlink.peering;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

/**
 * The addresses of other gateways: the one that each announces, unless the operator configured
 * another, as for a gateway behind network address translation.
 */
final class AddressBook {
  private final Map<String, String> overrides;
  private final UnaryOperator<String> announced;

  /**
   * @param overrides configured addresses by the name of a gateway
   * @param announced the address that the gateway of a name announces; empty if it is not known
   */
  AddressBook(Map<String, String> overrides, UnaryOperator<String> announced) {
    this.overrides = new TreeMap<>(overrides);
    this.announced = announced;
  }

  /** The address of the gateway of that name; empty if it is not known. */
  String addressOf(String name) {
    String override = overrides.get(name);
    return override == null ? announced.apply(name) : override;
  }

  /** The configured address of the gateway that announces this one; else the address itself. */
  String resolve(String address) {
    for (Map.Entry<String, String> override : overrides.entrySet()) {
      if (address.equals(announced.apply(override.getKey()))) {
        return override.getValue();
      }
    }
    return address;
  }
}
