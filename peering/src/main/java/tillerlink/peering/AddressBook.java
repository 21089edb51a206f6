package tillerlink.peering;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

/**
 * Where others are reached: at the address that each tells of itself, unless the operator says that
 * this gateway reaches it elsewhere, as behind a translator of addresses.
 */
final class AddressBook {
  private final Map<String, String> reach;
  private final UnaryOperator<String> told;

  /**
   * @param reach by name, the operator's word
   * @param told by name, what the member says of itself; empty if it is not known
   */
  AddressBook(Map<String, String> reach, UnaryOperator<String> told) {
    this.reach = new TreeMap<>(reach);
    this.told = told;
  }

  /** Empty if it is not known. */
  String of(String name) {
    String other = reach.get(name);
    return other == null ? told.apply(name) : other;
  }

  /** Where that which tells of itself that it is at an address is reached from here. */
  String instead(String address) {
    for (Map.Entry<String, String> other : reach.entrySet()) {
      if (address.equals(told.apply(other.getKey()))) {
        return other.getValue();
      }
    }
    return address;
  }
}
