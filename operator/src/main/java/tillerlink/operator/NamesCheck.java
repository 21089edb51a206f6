package tillerlink.operator;

import tillerlink.fleet.Fleet;

/** Names that lead from one part to another. */
final class NamesCheck {
    private NamesCheck() {
    }

    /** What a name names must be there. */
    static void check(Section all, Fleet fleet) {
        if (fleet == null) {
            return;
        }
        for (Section track : all.all("track")) {
            for (String kind : track.texts("kinds", false)) {
                if (fleet.kindNamed(kind) < 0) {
                    track.faultAt("kinds", "there is no kind '" + kind + "' in the fleet");
                }
            }
        }
        for (Section trouble : all.all("trouble")) {
            String whom = trouble.text("whom", "?");
            boolean gateway = whom.matches("n[0-9]{1,4}") && Integer.parseInt(whom.substring(1)) < fleet.gateways();
            boolean killed = trouble.text("what", "?").equalsIgnoreCase("killed");
            if (killed && !gateway || !killed && fleet.engines().stream().noneMatch(e -> e.name().equals(whom))) {
                trouble.faultAt("whom", "there is no " + (killed ? "gateway" : "engine") + " '" + whom + "'");
            }
        }
    }
}
