import tseslint from "typescript-eslint";

// Lowest package first. A package may import only packages that stand before it.
const packageOrder = [
    "base",
    "protocol",
    "consensus",
    "table",
    "configuration",
    "membership",
    "fleet",
    "routing",
    "gateway",
    "actions",
    "http",
    "daemon",
    "cli",
    "standins",
    "faults",
    "bench",
];

// Packages outside the executable import nothing of it but the two lowest packages.
const outsideExecutable = ["standins", "faults"];

const forbiddenImports = (name) => {
    const position = packageOrder.indexOf(name);
    if (outsideExecutable.includes(name)) {
        return packageOrder.filter((other) => !["base", "protocol", name].includes(other));
    }
    return packageOrder.filter((other, index) =>
        index > position || (name !== "bench" && outsideExecutable.includes(other))
    );
};

const directionRules = packageOrder.filter((name) => forbiddenImports(name).length > 0).map((name) => ({
    files: [`packages/${name}/**/*.ts`],
    rules: {
        "no-restricted-imports": [
            "error",
            {
                patterns: [
                    {
                        group: forbiddenImports(name).filter((other) => other !== name)
                            .flatMap((other) => [`@greengage/${other}`, `**/packages/${other}/**`]),
                        message: "A package imports only packages below it (see docs/design.md, section 3).",
                    },
                ],
            },
        ],
    },
}));

const houseSyntax = [
    { selector: "TSEnumDeclaration", message: "Use a constant object instead of an enum." },
    {
        selector: "PropertyDefinition[accessibility='private'], MethodDefinition[accessibility='private']",
        message: "Use a #private member.",
    },
    { selector: "TSNullKeyword", message: "Use undefined instead of null." },
];

// Names that only the platform uses. platform/ translates them.
const platformNames =
    "/greengageridge-|GREENGAGERIDGE_|Instances\\.|Config\\.(Replace|Describe)|heartbeat_url/i";
const platformSyntax = ["Literal", "TemplateElement"].map((node) => ({
    selector: node === "Literal"
        ? `Literal[value=${platformNames}]`
        : `TemplateElement[value.raw=${platformNames}]`,
    message: "Names of the users' platform belong in platform/.",
}));

export default tseslint.config(
    { ignores: ["**/node_modules/**", "dist/**", "target/**"] },
    ...tseslint.configs.recommended,
    {
        files: ["**/*.ts"],
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            curly: ["error", "all"],
            eqeqeq: "error",
            "one-var": ["error", "never"],
            "prefer-arrow-callback": "error",
            "func-style": ["error", "expression"],
            "max-lines": ["error", { max: 400, skipBlankLines: true, skipComments: true }],
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-misused-promises": ["error", { checksVoidReturn: false }],
            "@typescript-eslint/no-unused-vars": ["error", {
                argsIgnorePattern: "^_$",
                caughtErrors: "none",
                varsIgnorePattern: "^_$",
            }],
            "no-restricted-syntax": ["error", ...houseSyntax],
        },
    },
    {
        files: ["packages/**/*.ts"],
        rules: { "no-restricted-syntax": ["error", ...houseSyntax, ...platformSyntax] },
    },
    ...directionRules,
    { files: ["eslint.config.js", "ava.config.js", "scripts/**"], ...tseslint.configs.disableTypeChecked },
);
