package tillerlink.peering;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

/**
 * The addresses of other gateways. Each is the address that the gateway announces, unless the
 * operator configured another one, for example because the gateway is behind network address
 * translation.
 */
final class AddressBook {
  private final Map<String, String> overrides;
  private final UnaryOperator<String> announced;

  /**
   * Creates an address book.
   *
   * @param overrides the configured addresses by gateway name
   * @param announced returns the address that the named gateway announces, or an empty string if it
   *     is not known
   */
  AddressBook(Map<String, String> overrides, UnaryOperator<String> announced) {
    this.overrides = new TreeMap<>(overrides);
    this.announced = announced;
  }

  /** Returns the address of the named gateway, or an empty string if it is not known. */
  String addressOf(String name) {
    String override = overrides.get(name);
    return override == null ? announced.apply(name) : override;
  }

  /**
   * Returns the configured address of the gateway that announces the given address, or the given
   * address if none is configured.
   */
  String resolve(String address) {
    for (Map.Entry<String, String> override : overrides.entrySet()) {
      if (address.equals(announced.apply(override.getKey()))) {
        return override.getValue();
      }
    }
    return address;
  }
}
