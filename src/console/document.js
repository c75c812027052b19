// Functions on configuration documents: differences, merge patches and conflicting changes. They use
// neither the page nor the network.
"use strict";

export function isObject(value) {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

export function equal(a, b) {
  if (isObject(a) && isObject(b)) {
    const names = new Set([...Object.keys(a), ...Object.keys(b)]);
    return [...names].every((name) => equal(a[name], b[name]));
  }
  if (Array.isArray(a) && Array.isArray(b)) {
    return a.length === b.length && a.every((item, i) => equal(item, b[i]));
  }
  return a === b;
}

/** The changes from `before` to `after` as { path, before, after }, sorted by path. */
export function differences(before, after, path = "") {
  const names = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
  return names.flatMap((name) => {
    const childPath = path === "" ? name : `${path}.${name}`;
    const a = before[name];
    const b = after[name];
    if (isObject(a) && isObject(b)) {
      return differences(a, b, childPath);
    }
    return equal(a, b) ? [] : [{ path: childPath, before: a, after: b }];
  });
}

/** Returns `target` with the RFC 7396 merge patch `patch` applied. */
export function mergePatch(target, patch) {
  const result = isObject(target) ? { ...target } : {};
  for (const [name, value] of Object.entries(patch)) {
    if (value === null) {
      delete result[name];
    } else if (isObject(value)) {
      result[name] = mergePatch(result[name], value);
    } else {
      result[name] = value;
    }
  }
  return result;
}

/** Returns the RFC 7396 merge patch that turns `from` into `to`. */
export function mergePatchBetween(from, to) {
  const patch = {};
  for (const name of Object.keys(from)) {
    if (!(name in to)) {
      patch[name] = null;
    }
  }
  for (const [name, value] of Object.entries(to)) {
    if (equal(from[name], value)) {
      continue;
    }
    patch[name] = isObject(value)
      ? mergePatchBetween(isObject(from[name]) ? from[name] : {}, value) : value;
  }
  return patch;
}

/** True if the paths are the same or one contains the other. */
function pathsOverlap(a, b) {
  return a === b || a.startsWith(`${b}.`) || b.startsWith(`${a}.`);
}

/** Returns the changes in `mine` that overlap a change in `theirs`, unless both set the same value at the same path. */
export function conflictingChanges(mine, theirs) {
  return mine.filter((own) => theirs.some(
    (other) => pathsOverlap(own.path, other.path)
      && !(own.path === other.path && equal(own.after, other.after))));
}
