/** Status by which a host refuses to take relayed calls now; its other rejections concern the call itself. */
export const RELAY_REFUSED = 429;
